Feature: No acknowledgement by a superseded primary

  Scenario: the primary is killed under writes
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And 1 seconds pass
    And the primary is killed
    And the callers end
    Then the history is right, with at least 100 accepted results

  Scenario: the primary's data centre is cut off with its own instances
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the primary's data centre is cut off
    And 3 seconds pass
    And the network heals
    And the callers end
    Then the history is right, with at least 100 accepted results

  Scenario: without confirmation an accepted result is lost
    Given the confirmation is switched off
    And a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the primary's data centre is cut off
    And 3 seconds pass
    And the network heals
    And the callers end
    Then the history is wrong: is lost

  Scenario: the primary is frozen and wakes after the promotion
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And 1 seconds pass
    And the primary is frozen
    And 2 seconds pass
    And the network heals
    And the callers end
    Then the history is right, with at least 100 accepted results

  Scenario: the store is down during the promotion
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And the platform's store goes down
    And the primary is killed
    And 3 seconds pass
    And the platform's store returns
    And the callers end
    Then the history is right, with at least 80 accepted results

  Scenario: the store's answer is lost during the promotion
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And the next 2 answers of the store are lost
    And the primary is killed
    And the callers end
    Then the history is right, with at least 80 accepted results

  Scenario: every instance promotes at once under writes
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And 1 seconds pass
    And every instance proposes itself for the promotion at once
    And 1 seconds pass
    And every instance proposes itself for the promotion at once
    And the callers end
    Then the history is right, with at least 50 accepted results

  Scenario: an instance is frozen between commit and answer
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 6 seconds
    And 1 seconds pass
    And the instance howrah-1 is frozen
    And the instance howrah-2 is frozen
    And 3 seconds pass
    And the network heals
    And the callers end
    Then the history is right, with at least 50 accepted results

  Scenario: the old primary returns with a longer log
    Given a system with 2 instances in each data centre
    When the primary is cut off alone
    And a request for result lost starts at howrah-1
    And 2 seconds pass
    And result r1 is posted at salt-lake-1
    And the network heals
    And the background request for lost ends
    And 3 seconds pass
    And the results are read without a session at durgapur-1
    Then result r1 is answered done
    And result lost is answered done
    And the read shows lost, r1

  Scenario Outline: two failures at a time, at any moment
    Given a system with 2 instances in each data centre, seed <seed>
    When 6 callers post results and read them for 20 seconds
    And failures strike at random for 18 seconds
    And the callers end
    Then the history is right, with at least 200 accepted results
    When result after is posted at howrah-1
    Then result after is answered done

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
