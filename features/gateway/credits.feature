Feature: Gateways together never open more connections to a worker than it holds

    Scenario: Credits stay within a worker's connections through random histories
        When 300 random histories of 5 gateways and their owners are played
        Then no worker ever had more than 64 connections
        And some worker had all of them in use

    Scenario Outline: The check of random histories notices an owner that <fault>
        When 300 random histories are played with an owner that <fault>
        Then some worker had more than 64 connections

        Examples:
            | fault                                                 |
            | counts a lease for half of its time                   |
            | takes credits as free when their lease has lapsed     |
            | does not wait for the leases of its predecessor       |

    Scenario: A gateway's credits follow what it needs, and come back when it stops
        Given a service with 1 replica
        When 40 callers are answered at once
        Then the owner counts at least 2 credits as used
        When the gateway stops
        Then the owner counts 0 credits as used

    Scenario: A gateway without an owner keeps its open connections and opens no more
        Given a service with 1 replica whose credits lapse after 300 ms
        And 5 connections of the gateway are open
        When the scheduler is gone and the credits have lapsed
        Then 10 callers are answered
        And no more than 5 connections are open

    Scenario: Three gateways share a worker's connections under load
        Given a service with 1 replica and 3 gateways
        When 100 callers at each gateway are answered at once
        Then the worker had at most 64 connections open at once
        And the worker had at least 50 connections open at once
