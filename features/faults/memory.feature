Feature: The soak tells flat memory from a leak

    Scenario: A process whose memory rises and falls between collections is flat
        Given 600 s of samples from 90 MB that swing by 12 MB and grow by 0 MB an hour
        Then the process is flat and stays below 128 MB for an hour

    Scenario: What a process takes while it warms up is no growth
        Given 600 s of samples from 90 MB that swing by 12 MB and grow by 0 MB an hour
        And the first 150 s are 40 MB lower
        Then the process is flat and stays below 128 MB for an hour

    Scenario: A leak beneath the swing is caught
        Given 600 s of samples from 90 MB that swing by 12 MB and grow by 30 MB an hour
        Then the process grows by 30 MB an hour
        And it passes 128 MB within an hour
