Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Background:
    Given a fleet with seed 14 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 10000 tokens a second and a burst of 100000
    And a model service with 3 prefill and 6 decode upstreams of 24 pieces
    And routes that are open to the teams only
    And the instances "a, b, c, d" have settled

  Scenario: A withdrawn key stops working
    When the operator withdraws the key of team "weavers"
    And 3 seconds pass
    And team "weavers" asks 5 times a second for 100 prompt and 50 output tokens for 10 seconds
    And 20 seconds pass
    Then every request of team "weavers" was refused with "KEY_UNKNOWN"
    And the configuration of every instance is the one in the store

  Scenario: An instance that lost the store learns of a withdrawal from its peers
    When instance "b" is cut off from the store and the list
    And 20 seconds pass
    And the operator withdraws the key of team "weavers"
    And 3 seconds pass
    Then the configuration of every instance is the one in the store

  Scenario: An instance that lost everything closes routes that need a key
    When instance "b" is cut off from the store and the list
    And instance "b" is cut off from its peers
    And instance "a" is killed
    And instance "c" is killed
    And instance "d" is killed
    And 15 seconds pass
    And the answers so far are set aside
    And team "weavers" asks 5 times a second for 100 prompt and 50 output tokens for 10 seconds
    And 20 seconds pass
    Then every request of team "weavers" was refused with "NOT_READY"

  Scenario: A change made while answers of the store are lost
    When the store loses its answers for 20 seconds
    And the operator withdraws the key of team "weavers"
    And 24 seconds pass
    Then the configuration of every instance is the one in the store

  Scenario: A failure domain is taken out under load and brought back
    When team "weavers" asks 5 times a second for 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the operator takes failure domain "Rundu" out
    And 3 seconds pass
    And the answers so far are set aside
    And 20 seconds pass
    Then no upstream got new work while it was out
    When the operator brings failure domain "Rundu" back
    And 60 seconds pass
    Then at least 100 percent of the requests of team "weavers" were answered

  Scenario: A leaving upstream gets no new work
    When team "weavers" asks 5 times a second for 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the operator lets upstream "decode-0" leave
    And 3 seconds pass
    And the answers so far are set aside
    And 60 seconds pass
    Then no upstream got new work while it was out
    And at least 100 percent of the requests of team "weavers" were answered
