Feature: What fails, and what must hold all the same
  Each scenario ends in one check of what callers and engines recorded.

  Scenario: A process dies while requests are waiting
    Given a site of 3 control replicas, 3 entries and 1 engine with 2 slots
    When 12 callers send requests with keys through entry 1
    And 2 of them have begun
    And entry 1 dies
    And every caller without an answer sends again through entry 2
    Then every caller has its whole answer
    And no invariant is broken

  Scenario: A burst beyond all slots
    Given a site of 1 control replicas, 2 entries and 1 engine with 2 slots
    When 60 callers send requests with keys through entry 1
    Then every caller has its whole answer or a true refusal
    And no invariant is broken

  Scenario: An engine becomes a straggler during a burst
    Given a site of 1 control replicas, 2 entries and 2 engine with 4 slots
    When engine 1 becomes slow
    And 24 callers send requests with keys through entry 2
    Then every caller has its whole answer
    And no invariant is broken

  Scenario: The leader of control is cut off silently and an entry dies
    Given a site of 3 control replicas, 3 entries and 1 engine with 4 slots
    When 8 callers send requests with keys through entry 1
    And 1 of them have begun
    And the leader of control freezes
    And entry 1 dies
    And every caller without an answer sends again through entry 2
    Then every caller has its whole answer
    And no invariant is broken

  Scenario: Operators race under one version and resend
    Given a site of 3 control replicas, 2 entries and 1 engine with 4 slots
    When 3 operators submit different manifests of version 2 through different replicas
    Then one of them is accepted, also when all send again
    And every entry has version 2 in force
    And no invariant is broken

  Scenario: Connections go silent while a manifest changes
    Given a site of 1 control replicas, 2 entries and 1 engine with 4 slots
    And a device stands before engine 1
    When 4 callers send requests with keys through entry 1
    And 4 of them have begun
    And the open connections of the device go silent
    And an operator submits version 2
    Then every entry has version 2 in force
    And every caller has its whole answer
    And no invariant is broken

  Scenario: Everything loses power and comes back
    Given a site of 3 control replicas, 2 entries and 1 engine with 4 slots
    When 6 callers send requests with keys through entry 1
    And 2 of them have begun
    And all processes are killed and started again
    And every caller without an answer sends again through entry 2
    Then every caller has its whole answer
    And no invariant is broken

  Scenario: The same keys come to all entries at once
    Given a site of 3 control replicas, 3 entries and 2 engine with 4 slots
    When 10 callers send requests with keys through every entry at once
    Then no invariant is broken

  Scenario: A backend server leaves while callers wait
    Given a site of 1 control replicas, 3 entries and 2 engine with 2 slots
    When 16 callers send requests with keys through entry 1
    And 4 of them have begun
    And engine 1 leaves
    Then every caller has its whole answer
    And engine 1 got at most the 2 requests that were granted before it left
    And no invariant is broken

  Scenario: An entry is shut down while answers run
    Given a site of 1 control replicas, 2 entries and 1 engine with 4 slots
    When 4 callers send requests with keys through entry 1
    And 4 of them have begun
    And entry 1 is shut down
    Then every caller has its whole answer
    And no invariant is broken

  Scenario: The leader of control and the owner of the pool fail in a roll-out
    Given a site of 3 control replicas, 3 entries and 2 engine with 4 slots
    And the engines take orders and ignore fencing numbers
    When an operator submits version 2 with a new model version
    And one engine is ordered
    And the leader of control freezes
    And the owner of the pool dies
    And 8 callers send requests with keys through a living entry
    Then every engine carries the new model version
    And no answer was cut by an order
    And every caller has its whole answer
    And no invariant is broken
