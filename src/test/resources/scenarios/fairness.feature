Feature: A team that floods the queue does not starve another

  Background:
    Given a fleet with seed 18 in failure domains "Braga A, Braga B, Guimarães"
    And a team "polishers" with 100000 tokens a second and a burst of 1000000
    And a team "booking" with 100000 tokens a second and a burst of 1000000
    And a model service with 3 prefill and 5 decode upstreams of 8 memory pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: One team sends three times the load that the engines can serve
    When team "polishers" sends 30 requests a second of 3000 prompt and 100 output tokens for 60 seconds
    And team "booking" sends 2 requests a second of 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the outcomes so far are excluded from the checks
    And 290 seconds pass
    Then at least 99 percent of the requests of team "booking" were completed
    And the completed requests of team "booking" took less than 10 seconds
    And no engine memory was overcommitted
    And every request has exactly one outcome
