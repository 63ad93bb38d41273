Feature: Gangs that find no place

    # Guards against ordinary jobs that wait beside empty workers: the tries to place a gang of suspects kept all workers from starting.
    Scenario Outline: A gang of suspects that fits nowhere keeps no other task from starting
        Given <workers> workers, and a gang of <members> whose members may not share a worker and are suspected of a crash
        And a job of 8 tasks that comes after the gang
        When tasks are dispatched for 600 ms
        Then the 8 tasks of the job have started, and no member of the gang

        Examples:
            | workers | members |
            | 33      | 36      |
            | 20      | 24      |

    # Guards against marks of a try that is taken back: waiting times, attempt numbers, loads and trials of images.
    Scenario: A try to place a gang leaves nothing behind
        Given 3 workers with a serving task each, and a gang of 4 fillers whose members may not share a worker
        When tasks are dispatched for 300 ms
        Then the gang still waits since its submission, with its first attempt number, and nothing has changed on the workers
        And the model has no trial of the gang's image

    # Guards against gangs that are never started again after a crash: each member waited for a worker of its own.
    Scenario: A gang of suspects starts again on as many workers as it needs
        Given 2 workers, and a gang of 12 whose members are suspected of a crash
        When tasks are dispatched for 600 ms
        Then all 12 members of the gang have started

    # Guards against lasting tasks that never count as overdue, because each refused start began their wait anew.
    Scenario: A task whose start is withdrawn has been waiting since it became ready
        Given a task that has waited for 5000 ms
        When its start is ordered and withdrawn
        Then it has still waited for 5000 ms
