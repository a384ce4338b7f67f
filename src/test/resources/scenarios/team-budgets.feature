Feature: No team receives more than its rate and burst across all instances together

  Background:
    Given a fleet with seed 11 in failure domains "Rundu, Nkurenkuru, Divundu"
    And a team "weavers" with 2000 tokens a second and a burst of 20000
    And a team "dyers" with 1000 tokens a second and a burst of 8000
    And a model service with 4 prefill and 9 decode upstreams of 24 memory pieces
    And the instances "a, b, c, d, e, f" have settled

  Scenario: A team that sends five times its rate is limited to its rate
    When team "weavers" sends 25 requests a second of 300 prompt and 200 output tokens for 120 seconds
    And team "dyers" sends 2 requests a second of 200 prompt and 100 output tokens for 120 seconds
    And 180 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And at most 0.1 percent of the requests of team "dyers" were wrongfully refused
    And at least 99 percent of the requests of team "dyers" were completed

  Scenario: A shard owner is killed
    When team "weavers" sends 3 requests a second of 300 prompt and 200 output tokens for 100 seconds
    And 30 seconds pass
    And the shard owner of a slot of team "weavers" is killed
    And 150 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell
    And every request has exactly one outcome
    And at most 1 percent of the requests of team "weavers" were wrongfully refused

  Scenario: A shard owner is paused until its slots have moved, then resumes
    When team "weavers" sends 25 requests a second of 300 prompt and 200 output tokens for 150 seconds
    And 30 seconds pass
    And the shard owner of a slot of team "weavers" is paused for 60 seconds
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell

  Scenario: A paused shard owner resumes and immediately receives requests
    When the shard owner of a slot of team "weavers" is paused for 60 seconds
    And 59 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell

  Scenario: A shard owner is disconnected from everything except its callers
    When instance "b" is disconnected from the store and the instance list
    And instance "b" is disconnected from its peers
    And 40 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell

  Scenario: Slots move while their team is idle
    When instance "g" is started
    And 15 seconds pass
    And instance "a" receives a shutdown request
    And 3 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 4 seconds pass
    And team "weavers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell

  Scenario: An instance is killed during an hour without the store
    When the store becomes unavailable
    And team "weavers" sends 2 requests a second of 300 prompt and 200 output tokens for 3600 seconds
    And 1800 seconds pass
    And instance "a" is killed
    And 1900 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell
    And at most 1 percent of the requests of team "weavers" were wrongfully refused
    And at least 98 percent of the requests of team "weavers" were completed

  Scenario: Messages are lost and duplicated
    When one in 20 messages between instances is lost and one in 10 duplicated
    And team "weavers" sends 25 requests a second of 300 prompt and 200 output tokens for 100 seconds
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell
    And every request has exactly one outcome

  Scenario: Instances start and stop while a team exceeds its rate
    When team "weavers" sends 25 requests a second of 300 prompt and 200 output tokens for 150 seconds
    And 20 seconds pass
    And instance "g" is started
    And 20 seconds pass
    And instance "b" receives a shutdown request
    And 20 seconds pass
    And instance "c" is killed
    And 20 seconds pass
    And instance "c" is started
    And 200 seconds pass
    Then no team has received more than its rate and burst
    And no two instances held the same budget or cell
    And the roster lists "a, c, d, e, f, g"

  Scenario: A slot that moved after a shard owner was killed starts empty
    Given a team "carvers" with 200 tokens a second and a burst of 20000
    When the configuration is applied again
    And team "weavers" sends 10 requests a second of 100 prompt and 50 output tokens for 100 seconds
    And 100 seconds pass
    And team "carvers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 3 seconds pass
    And the shard owner of a slot of team "carvers" is killed
    And 27 seconds pass
    And team "carvers" sends 600 requests of 50 prompt and 50 output tokens at once
    And 120 seconds pass
    Then no team has received more than its rate and burst

  Scenario: A member that was disconnected while another member joined keeps its shards
    Given 40 small teams
    When the configuration is applied again
    And 30 seconds pass
    And instance "a" is disconnected from the store and the instance list
    And instance "a" is disconnected from its peers
    And instance "g" is started
    And 4 seconds pass
    And instance "a" is reconnected to the store, the instance list and its peers
    And 30 seconds pass
    Then no two instances held the same budget or cell
