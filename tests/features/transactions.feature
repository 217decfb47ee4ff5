Feature: No statement in another session's transaction

  Scenario: a transaction whose statements arrive at several instances
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at salt-lake-1
    And the transaction posts r2 at durgapur-2
    And the transaction is committed at howrah-2
    And the results are read at durgapur-1
    Then commit is answered done
    And the read shows r1, r2

  Scenario: a transaction that is rolled back leaves nothing
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at howrah-1
    And the transaction is rolled back at howrah-1
    And result r2 is posted at howrah-1
    Then the group holds r2

  Scenario: its instance is killed in the middle
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at howrah-1
    And the owner of the transaction is killed
    And the transaction is committed at salt-lake-1
    And result r2 is posted at salt-lake-1
    Then commit is answered not_run because of transaction
    And the group holds r2

  Scenario: the answer to the commit is lost
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at salt-lake-1
    And the next answer of the transaction's target is lost
    And the transaction is committed at salt-lake-1
    Then commit is answered done
    And the group holds r1

  Scenario: the caller goes away and its connection goes to another
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at howrah-1
    And 40 seconds pass
    And result r2 is posted at howrah-1
    And the transaction is committed at howrah-1
    Then commit is answered not_run because of transaction
    And the group holds r2

  Scenario: a failing statement leaves no transaction behind
    Given a system with 2 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at howrah-1
    And the transaction fails at howrah-1
    And result r2 is posted at howrah-1
    Then the group holds r2

  Scenario: without the check a session runs inside another's transaction
    Given the connection state check is switched off
    And a system with 2 instances in each data centre
    When a statement breaks off in the middle of a transaction
    And result r2 is posted at howrah-1
    Then result r2 is not answered done

  Scenario: with the check a broken transaction disturbs nobody
    Given a system with 2 instances in each data centre
    When a statement breaks off in the middle of a transaction
    And result r2 is posted at howrah-1
    Then result r2 is answered done
    And the group holds r2

  Scenario: each caller gets its own whole answer
    Given a system with 2 instances in each data centre
    When 200 callers ask for their own value, some too late
    Then each answer that came is the caller's own, at least 30 of them
