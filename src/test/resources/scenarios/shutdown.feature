Feature: Every planned shutdown is graceful and interrupts no request

  Background:
    Given a fleet with seed 15 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 10000 tokens a second and a burst of 100000
    And a model service with 3 prefill and 6 decode upstreams of 24 memory pieces
    And the instances "a, b, c, d" have settled

  Scenario: Each instance in turn is replaced under load
    When team "weavers" sends 4 requests a second of 300 prompt and 200 output tokens for 120 seconds
    And 10 seconds pass
    And instance "a" receives a shutdown request
    And 25 seconds pass
    And instance "a" is started
    And 10 seconds pass
    And instance "b" receives a shutdown request
    And 25 seconds pass
    And instance "b" is started
    And 120 seconds pass
    Then the roster lists "a, b, c, d"
    And no caller lost its connection
    And every request has exactly one outcome
    And no team has received more than its rate and burst
    And no engine memory was overcommitted

  Scenario: An instance shuts down while the store is unavailable
    When the store becomes unavailable
    And team "weavers" sends 4 requests a second of 300 prompt and 200 output tokens for 20 seconds
    And 10 seconds pass
    And instance "a" receives a shutdown request
    And 60 seconds pass
    Then instance "a" has stopped
    And no caller lost its connection
    And every request has exactly one outcome
