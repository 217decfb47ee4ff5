Feature: Read-your-writes on the next request

  Scenario: through another data centre, from a replica
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And the results are read at durgapur-2
    Then the read shows r1
    And the answer was given by a replica

  Scenario: while every replica is far behind
    Given a system with 2 instances in each data centre
    And replicas apply 5 seconds late
    When result r1 is posted at howrah-1
    And the results are read at durgapur-2
    Then the read shows r1

  Scenario: without the check of the position a stale answer is given
    Given the position check is switched off
    And a system with 2 instances in each data centre
    And replicas apply 5 seconds late
    When result r1 is posted at howrah-1
    And the results are read at durgapur-2
    Then the read is empty

  Scenario: right after a failover
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And the primary is killed
    And the results are read at salt-lake-1
    Then the read shows r1

  Scenario: after the caller lost its token
    Given a system with 2 instances in each data centre
    And replicas apply 5 seconds late
    When result r1 is posted at howrah-1
    And the results are read without a session at durgapur-2
    Then the read shows r1

  Scenario: the latest data, asked for where a promotion was missed
    Given a system with 2 instances in each data centre
    And replicas apply 5 seconds late
    When howrah and a voter miss a promotion in durgapur
    And result r1 is posted at durgapur-1
    And the results are read without a session at howrah-1
    Then result r1 is answered done
    And the read did not miss r1

  Scenario: after an outcome that was unknown and a repeat
    Given a system with 2 instances in each data centre
    When a request for result r1 starts at howrah-1
    And 0.002 seconds pass
    And the primary is killed
    And the background request for r1 ends
    And result r1 is posted at durgapur-1
    And the results are read at salt-lake-2
    Then the read shows r1
    And the group holds r1

  Scenario: aged reads are refused once the stated age can not be shown
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And the primary's data centre is cut off
    And results at most 30 s old are read at howrah-1
    Then read is answered done
    When 1 seconds pass
    And the platform's store goes down
    And 40 seconds pass
    And results at most 30 s old are read at howrah-1
    Then read is answered not_run
