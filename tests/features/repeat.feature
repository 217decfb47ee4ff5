Feature: A request that is not repeatable runs at most once

  Scenario: the same identifier at once at two instances
    Given a system with 2 instances in each data centre
    When two requests for result r1 arrive at once at howrah-1 and durgapur-2
    Then result r1 is answered done
    And result r1 again is answered done
    And the group holds r1

  Scenario: without the record of the request it runs twice
    Given the request record is switched off
    And a system with 2 instances in each data centre
    When two requests for result r1 arrive at once at howrah-1 and durgapur-2
    Then the group holds r1, r1

  Scenario: repeated after a failover
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And the primary is killed
    And result r1 is posted at durgapur-2
    Then result r1 is answered done
    And the group holds r1

  Scenario: repeated after the death of the instance
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And the instance howrah-1 is killed
    And result r1 is posted at durgapur-2
    Then result r1 is answered done
    And the group holds r1

  Scenario: the identifier of another request
    Given a system with 2 instances in each data centre
    When result r1 is posted at howrah-1
    And another result is posted at howrah-2 as r1
    Then result r1 is answered not_run because of id_reused
    And the group holds r1
