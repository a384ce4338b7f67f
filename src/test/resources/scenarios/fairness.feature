Feature: A team that floods the queue does not starve another

  Background:
    Given a fleet with seed 18 in failure domains "Braga A, Braga B, Guimarães"
    And a team "polishers" with 100000 tokens a second and a burst of 1000000
    And a team "booking" with 100000 tokens a second and a burst of 1000000
    And a model service with 3 prefill and 5 decode upstreams of 8 pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: One team asks for three times what the engines can serve
    When team "polishers" asks 30 times a second for 3000 prompt and 100 output tokens for 60 seconds
    And team "booking" asks 2 times a second for 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the answers so far are set aside
    And 290 seconds pass
    Then at least 99 percent of the requests of team "booking" were answered
    And the requests of team "booking" were answered within 10 seconds
    And no engine memory was promised twice
    And every request has exactly one answer
