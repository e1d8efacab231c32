Feature: Planned drains, withdrawn keys and store outages

  Scenario: A failure domain is drained as planned
    Given a fleet of four failure domains under a steady load
    When the operator plans a drain of domain "d3" in 18 seconds
    And 24 seconds pass
    Then the targets of "d3" got no new work from 2 s after the start
    And every request was answered by a target

  Scenario: A key is withdrawn under load
    Given a fleet of four failure domains under a steady load
    When the operator withdraws the key of "acme"
    And 3 seconds pass
    Then a request of "acme" is refused as not run at every entry
    And a request of "blinds" is answered at every entry

  Scenario: The store is unavailable
    Given a fleet of four failure domains under a steady load
    When the store becomes unavailable
    And 30 seconds pass
    Then every request was answered by a target
