Feature: Every planned stop is a graceful shutdown that cuts no request

  Background:
    Given a fleet with seed 15 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 10000 tokens a second and a burst of 100000
    And a model service with 3 prefill and 6 decode upstreams of 24 pieces
    And the instances "a, b, c, d" have settled

  Scenario: Each instance in turn is replaced under load
    When team "weavers" asks 4 times a second for 300 prompt and 200 output tokens for 120 seconds
    And 10 seconds pass
    And instance "a" is told to stop
    And 25 seconds pass
    And instance "a" is started
    And 10 seconds pass
    And instance "b" is told to stop
    And 25 seconds pass
    And instance "b" is started
    And 120 seconds pass
    Then the roster lists "a, b, c, d"
    And no caller lost its connection
    And every request has exactly one answer
    And no team has received more than its rate and burst
    And no engine memory was promised twice

  Scenario: An instance stops while the store is down
    When the store goes down
    And team "weavers" asks 4 times a second for 300 prompt and 200 output tokens for 20 seconds
    And 10 seconds pass
    And instance "a" is told to stop
    And 60 seconds pass
    Then instance "a" has stopped
    And no caller lost its connection
    And every request has exactly one answer
