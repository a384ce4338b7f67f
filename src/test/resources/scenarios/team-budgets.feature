Feature: No team receives more than its rate and burst across all instances together

  Background:
    Given a fleet with seed 11 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 2000 tokens a second and a burst of 20000
    And a team "dyers" with 1000 tokens a second and a burst of 8000
    And a model service with 4 prefill and 9 decode upstreams of 24 pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: A team that sends five times its rate gets its rate and no more
    When team "weavers" asks 25 times a second for 300 prompt and 200 output tokens for 120 seconds
    And team "dyers" asks 2 times a second for 200 prompt and 100 output tokens for 120 seconds
    And 180 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget
    And every request has exactly one answer
    And at most 0.1 percent of the requests of team "dyers" were wrongfully refused
    And at least 99 percent of the requests of team "dyers" were answered

  Scenario: A home is killed
    When team "weavers" asks 3 times a second for 300 prompt and 200 output tokens for 100 seconds
    And 30 seconds pass
    And the home of a slot of team "weavers" is killed
    And 150 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget
    And every request has exactly one answer
    And at most 1 percent of the requests of team "weavers" were wrongfully refused

  Scenario: A home is paused until its slots have moved, and wakes up
    When team "weavers" asks 25 times a second for 300 prompt and 200 output tokens for 150 seconds
    And 30 seconds pass
    And the home of a slot of team "weavers" is paused for 60 seconds
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget

  Scenario: A home that was paused wakes up and is asked at once
    When the home of a slot of team "weavers" is paused for 60 seconds
    And 59 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget

  Scenario: A home is cut off from everything but its callers
    When instance "b" is cut off from the store and the list
    And instance "b" is cut off from its peers
    And 40 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget

  Scenario: Slots move while their team is idle
    When instance "g" is started
    And 15 seconds pass
    And instance "a" is told to stop
    And 3 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 4 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget

  Scenario: The store is down for an hour and an instance dies meanwhile
    When the store goes down
    And team "weavers" asks 2 times a second for 300 prompt and 200 output tokens for 3600 seconds
    And 1800 seconds pass
    And instance "a" is killed
    And 1900 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget
    And at most 1 percent of the requests of team "weavers" were wrongfully refused
    And at least 98 percent of the requests of team "weavers" were answered

  Scenario: Messages are lost and repeated
    When one in 20 messages between instances is lost and one in 10 repeated
    And team "weavers" asks 25 times a second for 300 prompt and 200 output tokens for 100 seconds
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget
    And every request has exactly one answer

  Scenario: Instances come and go while a team sends too much
    When team "weavers" asks 25 times a second for 300 prompt and 200 output tokens for 150 seconds
    And 20 seconds pass
    And instance "g" is started
    And 20 seconds pass
    And instance "b" is told to stop
    And 20 seconds pass
    And instance "c" is killed
    And 20 seconds pass
    And instance "c" is started
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget
    And the roster lists "a, c, d, e, f, g"

  Scenario: A slot that moved after a death starts empty
    Given a team "carvers" with 200 tokens a second and a burst of 20000
    When the configuration is applied again
    And team "weavers" asks 10 times a second for 100 prompt and 50 output tokens for 100 seconds
    And 100 seconds pass
    And team "carvers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 3 seconds pass
    And the home of a slot of team "carvers" is killed
    And 27 seconds pass
    And team "carvers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst

  Scenario: A member that has not heard of a new one keeps what it holds
    Given 40 small teams
    When the configuration is applied again
    And 30 seconds pass
    And instance "a" is cut off from the store and the list
    And instance "a" is cut off from its peers
    And instance "g" is started
    And 4 seconds pass
    And instance "a" reaches everything again
    And 30 seconds pass
    Then no two instances held the same budget
