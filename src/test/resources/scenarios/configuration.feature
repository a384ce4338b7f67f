Feature: An accepted configuration applies at every instance within seconds and never reverts

  Background:
    Given a fleet with seed 14 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 10000 tokens a second and a burst of 100000
    And a model service with 3 prefill and 6 decode upstreams of 24 memory pieces
    And routes that are open to the teams only
    And the instances "a, b, c, d" have settled

  Scenario: A withdrawn key stops working
    When the operator withdraws the key of team "weavers"
    And 3 seconds pass
    And team "weavers" sends 5 requests a second of 100 prompt and 50 output tokens for 10 seconds
    And 20 seconds pass
    Then every request of team "weavers" was refused with "KEY_UNKNOWN"
    And every instance uses the configuration in the store

  Scenario: An instance disconnected from the store receives a key withdrawal from its peers
    When instance "b" is disconnected from the store and the instance list
    And 20 seconds pass
    And the operator withdraws the key of team "weavers"
    And 3 seconds pass
    Then every instance uses the configuration in the store

  Scenario: An instance disconnected from store and peers refuses requests that need a key
    When instance "b" is disconnected from the store and the instance list
    And instance "b" is disconnected from its peers
    And instance "a" is killed
    And instance "c" is killed
    And instance "d" is killed
    And 15 seconds pass
    And the outcomes so far are excluded from the checks
    And team "weavers" sends 5 requests a second of 100 prompt and 50 output tokens for 10 seconds
    And 20 seconds pass
    Then every request of team "weavers" was refused with "NOT_READY"

  Scenario: The configuration changes while responses of the store are lost
    When the responses of the store are lost for 20 seconds
    And the operator withdraws the key of team "weavers"
    And 24 seconds pass
    Then every instance uses the configuration in the store

  Scenario: A failure domain is taken out of service under load and returned to service
    When team "weavers" sends 5 requests a second of 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the operator takes failure domain "Rundu" out of service
    And 3 seconds pass
    And the outcomes so far are excluded from the checks
    And 20 seconds pass
    Then no upstream received new work while it was out of service
    When the operator returns failure domain "Rundu" to service
    And 60 seconds pass
    Then at least 100 percent of the requests of team "weavers" were completed

  Scenario: A leaving upstream receives no new work
    When team "weavers" sends 5 requests a second of 300 prompt and 100 output tokens for 60 seconds
    And 10 seconds pass
    And the operator marks upstream "decode-0" as leaving
    And 3 seconds pass
    And the outcomes so far are excluded from the checks
    And 60 seconds pass
    Then no upstream received new work while it was out of service
    And at least 100 percent of the requests of team "weavers" were completed
