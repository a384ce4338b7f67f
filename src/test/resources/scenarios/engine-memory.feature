Feature: Engine memory is never promised twice and never stays held by requests that are gone

  Background:
    Given a fleet with seed 12 in failure domains "Braga A, Braga B, Guimarães"
    And a team "polishers" with 100000 tokens a second and a burst of 1000000
    And a model service with 3 prefill and 5 decode upstreams of 8 pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: More requests than memory
    When team "polishers" asks 20 times a second for 3000 prompt and 100 output tokens for 60 seconds
    And 260 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And every request has exactly one answer
    And no engine memory is held and no room is reserved

  Scenario: An instance is killed in the middle of its requests
    When team "polishers" asks 8 times a second for 3000 prompt and 200 output tokens for 60 seconds
    And 30 seconds pass
    And instance "a" is killed
    And 240 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And no engine memory is held and no room is reserved

  Scenario: The home of a cell is killed
    When team "polishers" asks 8 times a second for 3000 prompt and 200 output tokens for 90 seconds
    And 30 seconds pass
    And the home of a cell is killed
    And 280 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And every request has exactly one answer
    And no engine memory is held and no room is reserved

  Scenario: The home of a cell is paused until the cell has moved, and wakes up
    When team "polishers" asks 8 times a second for 3000 prompt and 200 output tokens for 120 seconds
    And 30 seconds pass
    And the home of a cell is paused for 40 seconds
    And 300 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And no engine memory is held and no room is reserved

  Scenario: Messages are lost and repeated
    When one in 20 messages between instances is lost and one in 10 repeated
    And team "polishers" asks 8 times a second for 3000 prompt and 200 output tokens for 60 seconds
    And 300 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And every request has exactly one answer
    And no engine memory is held and no room is reserved

  Scenario: The home of a cell is killed while long prompts are in prefill
    When team "polishers" asks 2 times a second for 25000 prompt and 200 output tokens for 90 seconds
    And 30 seconds pass
    And the home of a cell is killed
    And 280 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And every request has exactly one answer
    And no engine memory is held and no room is reserved

  Scenario: Instances join and stop while long prompts are in prefill
    When team "polishers" asks 2 times a second for 25000 prompt and 200 output tokens for 120 seconds
    And 30 seconds pass
    And instance "g" is started
    And instance "h" is started
    And 20 seconds pass
    And instance "a" is told to stop
    And 10 seconds pass
    And instance "b" is told to stop
    And 280 seconds pass
    Then no engine memory was promised twice
    And no two instances held the same budget
    And every request has exactly one answer
    And no engine memory is held and no room is reserved

  Scenario: Callers leave while they wait, in prefill and in decode
    When one in 3 callers leaves after 900 milliseconds
    And team "polishers" asks 10 times a second for 3000 prompt and 200 output tokens for 60 seconds
    And 260 seconds pass
    Then no engine memory was promised twice
    And no engine memory is held and no room is reserved

  Scenario: An upstream fails with all that it holds and recovers
    When team "polishers" asks 6 times a second for 3000 prompt and 200 output tokens for 60 seconds
    And 20 seconds pass
    And upstream "decode-0" fails
    And 10 seconds pass
    And upstream "decode-0" recovers
    And upstream "prefill-1" fails
    And 15 seconds pass
    And upstream "prefill-1" recovers
    And 240 seconds pass
    Then no engine memory was promised twice
    And every request has exactly one answer
    And at least 97 percent of the requests of team "polishers" were answered
    And no engine memory is held and no room is reserved
