Feature: Engine memory is never overcommitted and is released after requests end

  Background:
    Given a fleet with seed 12 in failure domains "Braga A, Braga B, Guimarães"
    And a team "polishers" with 100000 tokens a second and a burst of 1000000
    And a model service with 3 prefill and 5 decode upstreams of 8 memory pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: Requests need more engine memory than exists
    When team "polishers" sends 20 requests a second of 3000 prompt and 100 output tokens for 60 seconds
    And 260 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And no engine memory is held and no capacity is reserved

  Scenario: An instance is killed while it runs requests
    When team "polishers" sends 8 requests a second of 3000 prompt and 200 output tokens for 60 seconds
    And 30 seconds pass
    And instance "a" is killed
    And 240 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And no engine memory is held and no capacity is reserved

  Scenario: The shard owner of a cell is killed
    When team "polishers" sends 8 requests a second of 3000 prompt and 200 output tokens for 90 seconds
    And 30 seconds pass
    And the shard owner of a cell is killed
    And 280 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And no engine memory is held and no capacity is reserved

  Scenario: The shard owner of a cell is paused until the cell has moved, then resumes
    When team "polishers" sends 8 requests a second of 3000 prompt and 200 output tokens for 120 seconds
    And 30 seconds pass
    And the shard owner of a cell is paused for 40 seconds
    And 300 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And no engine memory is held and no capacity is reserved

  Scenario: Messages are lost and duplicated
    When one in 20 messages between instances is lost and one in 10 duplicated
    And team "polishers" sends 8 requests a second of 3000 prompt and 200 output tokens for 60 seconds
    And 300 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And no engine memory is held and no capacity is reserved

  Scenario: The shard owner of a cell is killed while long prompts are in prefill
    When team "polishers" sends 2 requests a second of 25000 prompt and 200 output tokens for 90 seconds
    And 30 seconds pass
    And the shard owner of a cell is killed
    And 280 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And no engine memory is held and no capacity is reserved

  Scenario: Instances join and stop while long prompts are in prefill
    When team "polishers" sends 2 requests a second of 25000 prompt and 200 output tokens for 120 seconds
    And 30 seconds pass
    And instance "g" is started
    And instance "h" is started
    And 20 seconds pass
    And instance "a" receives a shutdown request
    And 10 seconds pass
    And instance "b" receives a shutdown request
    And 280 seconds pass
    Then no engine memory was overcommitted
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And no engine memory is held and no capacity is reserved

  Scenario: Callers disconnect in the queue, in prefill and in decode
    When one in 3 callers disconnects after 900 milliseconds
    And team "polishers" sends 10 requests a second of 3000 prompt and 200 output tokens for 60 seconds
    And 260 seconds pass
    Then no engine memory was overcommitted
    And no engine memory is held and no capacity is reserved

  Scenario: An upstream fails, loses its attempts and recovers
    When team "polishers" sends 6 requests a second of 3000 prompt and 200 output tokens for 60 seconds
    And 20 seconds pass
    And upstream "decode-0" fails
    And 10 seconds pass
    And upstream "decode-0" recovers
    And upstream "prefill-1" fails
    And 15 seconds pass
    And upstream "prefill-1" recovers
    And 240 seconds pass
    Then no engine memory was overcommitted
    And every request has exactly one outcome
    And at least 97 percent of the requests of team "polishers" were completed
    And no engine memory is held and no capacity is reserved
