Feature: What runs on shared cores tell of the duration of tasks

    # Guards against late jobs that pass as jobs that can be on time, because runs that shared cores made their tasks seem long.
    Scenario Outline: A run of 3000 ms beside <others> fillers of 4 cores on 32 leads to expect <expected> ms of the next one
        Given a worker of 32 cores that runs <others> fillers of 4 cores, each estimated at 1000 ms
        And <task> of the same image that has run there for 3000 ms
        When the worker reports that it is done
        Then the next task of the image is expected to take <expected> ms

        Examples:
            | others | task                | expected |
            | 0      | a filler            | 3000     |
            | 7      | a filler            | 3000     |
            | 23     | a filler            | 1000     |
            | 52     | a filler            | 1000     |
            | 23     | a task that is none | 3000     |
