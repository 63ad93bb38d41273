Feature: Operators find every metric on a page

    Scenario: Each metric that the code names is on the page of metrics, and the page names no other
        Then the metrics of the code and those of the page are the same
