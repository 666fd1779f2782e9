Feature: Failures, and the guarantees that must still hold
  Each scenario ends with a check of the records of callers and engines.

  Scenario: An entry is killed while requests are waiting
    Given a site of 3 control replicas, 3 entries and 1 engine with 2 slots
    When 12 callers send requests with keys through entry 1
    And 2 requests have been dispatched
    And entry 1 is killed
    And every caller without an answer retries through entry 2
    Then every caller has its complete answer
    And no invariant is violated

  Scenario: A burst exceeds all slots
    Given a site of 1 control replica, 2 entries and 1 engine with 2 slots
    When 60 callers send requests with keys through entry 1
    Then every caller has its complete answer or a refusal marked as not run
    And no invariant is violated

  Scenario: An engine becomes a straggler during a burst
    Given a site of 1 control replica, 2 entries and 2 engines with 4 slots
    When engine 1 becomes slow
    And 24 callers send requests with keys through entry 2
    Then every caller has its complete answer
    And no invariant is violated

  Scenario: The control leader freezes and an entry is killed
    Given a site of 3 control replicas, 3 entries and 1 engine with 4 slots
    When 8 callers send requests with keys through entry 1
    And 1 request has been dispatched
    And the control leader is frozen
    And entry 1 is killed
    And every caller without an answer retries through entry 2
    Then every caller has its complete answer
    And no invariant is violated

  Scenario: Operators submit different manifests of one version at once
    Given a site of 3 control replicas, 2 entries and 1 engine with 4 slots
    When 3 operators submit different manifests of version 2 through different replicas
    Then exactly one is accepted, also after all are submitted again
    And every entry has version 2 in force
    And no invariant is violated

  Scenario: Connections lose their traffic while the manifest changes
    Given a site of 1 control replica, 2 entries and 1 engine with 4 slots
    And a proxy in front of engine 1
    When 4 callers send requests with keys through entry 1
    And 4 requests have been dispatched
    And the proxy drops the traffic of its open connections
    And an operator submits version 2
    Then every entry has version 2 in force
    And every caller has its complete answer
    And no invariant is violated

  Scenario: All processes are killed and restarted
    Given a site of 3 control replicas, 2 entries and 1 engine with 4 slots
    When 6 callers send requests with keys through entry 1
    And 2 requests have been dispatched
    And all processes are killed and restarted
    And every caller without an answer retries through entry 2
    Then every caller has its complete answer
    And no invariant is violated

  Scenario: The same keys are sent to all entries at once
    Given a site of 3 control replicas, 3 entries and 2 engines with 4 slots
    When 10 callers send requests with keys through every entry at once
    Then no invariant is violated

  Scenario: A backend server leaves while callers wait
    Given a site of 1 control replica, 3 entries and 2 engines with 2 slots
    When 16 callers send requests with keys through entry 1
    And 4 requests have been dispatched
    And engine 1 leaves
    Then every caller has its complete answer
    And engine 1 received at most the 2 requests that were granted before it left
    And no invariant is violated

  Scenario: An entry is shut down while answers are in progress
    Given a site of 1 control replica, 2 entries and 1 engine with 4 slots
    When 4 callers send requests with keys through entry 1
    And 4 requests have been dispatched
    And entry 1 is shut down
    Then every caller has its complete answer
    And no invariant is violated

  Scenario: The control leader and the owner of the pool fail during a rollout
    Given a site of 3 control replicas, 3 entries and 2 engines with 4 slots
    And the engines accept orders and ignore fencing numbers
    When an operator submits version 2 with a new model version
    And one engine has received an order
    And the control leader is frozen
    And the owner of the pool is killed
    And 8 callers send requests with keys through a running entry
    Then every engine serves the new model version
    And no answer was interrupted by an order
    And every caller has its complete answer
    And no invariant is violated
