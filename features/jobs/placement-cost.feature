Feature: Work of an owner per placement

    Scenario: The tasks of a wide step are placed without a search through all workers for each of them
        Given a cell of 60 workers with a job of 40 tasks
        When an owner has started all of them
        Then its log tells of 40 ordered tasks or more, and of at most 4 searches for a worker

    Scenario: A worker found for one of several tasks is the one that a search for each of them finds
        Given 40 workers with serving tasks and fillers of their own
        When 60 tasks of each kind of step are placed one after the other
        Then each goes to the worker that a search of its own finds

    Scenario: The second trial of an image is not placed in the same pass, though another worker was as good for it
        Given 3 workers with a serving task of the same image each
        When tasks of a filler that has not been seen beside it are placed one after the other
        Then one of them is placed

    # Guards against passes that take most of a small owner's time while hundreds of jobs wait (LOST).
    Scenario: Fillers of hundreds of jobs that fit nowhere do not cost a search each
        Given 12 workers with serving tasks and fillers of their own
        When a pass looks at 400 fillers of 4 images and of several sizes, half of them of late jobs
        Then it starts some of them, and makes at most 120 searches
        And none of those that it leaves out would find a worker by a search of its own

    # Guards against passes in which each filler of a kind that starts costs a look at all workers.
    Scenario: Fillers of hundreds of jobs that start share the searches of their kind
        Given 12 workers with serving tasks and fillers of their own
        When a pass looks at 400 fillers of 4 images and of several sizes, half of them of late jobs
        Then it makes fewer searches than it starts tasks
        And each starts on the worker that a search of its own finds
