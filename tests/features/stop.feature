Feature: A graceful stop cuts no request in flight

  Scenario Outline: an instance stops under load
    Given a system with 2 instances in each data centre
    When 8 callers post results and read them for 6 seconds
    And 1 seconds pass
    And the instance <name> is stopped gracefully
    And the callers end
    Then no request was cut
    And the history is right, with at least 100 accepted results

    Examples:
      | name        |
      | howrah-1    |
      | howrah-2    |
      | salt-lake-1 |

  Scenario: an instance that is killed cuts requests
    Given a system with 2 instances in each data centre
    When 60 callers post results and read them for 4 seconds
    And 1 seconds pass
    And the instance howrah-1 is killed
    And 1 seconds pass
    And the instance howrah-2 is killed
    And the callers end
    Then a request was cut
    And the history is right, with at least 50 accepted results

  Scenario: a stop waits for an open transaction
    Given a system with 1 instances in each data centre
    When a transaction begins at howrah-1
    And the transaction posts r1 at howrah-1
    And the instance howrah-1 begins to stop gracefully
    And 1 seconds pass
    Then the stop has not ended
    When the transaction is committed at salt-lake-1
    And the stop ends
    Then commit is answered done
    When the results are read at durgapur-1
    Then the read shows r1

  Scenario: an instance that stopped and returned is used again
    Given a system with 2 instances in each data centre
    When the instance howrah-1 is stopped gracefully
    Then every instance takes howrah-1 as leaving
    When the instance howrah-1 starts again with nothing
    And 0.1 seconds pass
    Then no instance takes howrah-1 as leaving
    When 5 seconds pass
    Then no instance takes howrah-1 as leaving
