Feature: A leaving target gets no new work after a few seconds

  Scenario: a replica that the text marks
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the replica is marked as leaving in the text
    And the callers end
    Then the leaving target got no work after 2 seconds
    And the leaving target has retired
    And the history is right, with at least 100 accepted results

  Scenario: a primary that the text marks is switched over
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the primary is marked as leaving in the text
    And the callers end
    Then the leaving target got no work after 2 seconds
    And the leaving target has retired
    And the history is right, with at least 100 accepted results

  Scenario: a replica that the platform lists
    Given a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the replica is listed as leaving by the platform
    And the callers end
    Then the leaving target got no work after 2 seconds
    And the history is right, with at least 100 accepted results

  Scenario: without the check the target gets work
    Given the leaving check is switched off
    And a system with 2 instances in each data centre
    When 6 callers post results and read them for 8 seconds
    And 1 seconds pass
    And the primary is marked as leaving in the text
    And the callers end
    Then the leaving target got work after 2 seconds

  Scenario: two targets leave one after the other under failures
    Given a system with 2 instances in each data centre
    When 4 callers post results and read them for 16 seconds
    And 1 seconds pass
    And the primary is marked as leaving in the text
    And 6 seconds pass
    And the primary is marked as leaving in the text
    And the callers end
    Then the leaving target has retired
    And the history is right, with at least 100 accepted results

  Scenario: one data centre is cut off from the text and from the platform
    Given a system with 2 instances in each data centre
    When the data centre durgapur is cut off
    And the text marks the replica in durgapur as leaving
    And 4 seconds pass
    And the network heals
    And 4 seconds pass
    Then the leaving target has retired
