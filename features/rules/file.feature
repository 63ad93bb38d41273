Feature: A rules file has one line per rule, and every error is named at once

    Scenario: The rules of a file are read
        Given a rules file:
            """
            # the rental desk
            service beacon-check --replicas 6 --cores 2 --memory 4GiB --in rovaniemi,levi --exclusive --until 2027-05-31 # Aino, rental desk

            batch season-prep --cores 8 --memory 16GiB --schedule "0 2 * * *" --time-zone Europe/Helsinki --feature guide-bookings # Eero's team
            quota bookings --cores 64 # Eero
            deny season-prep --beside beacon-check --until 2027-05-31 # Aino
            retire guide-bookings # Aino
            """
        Then it has 5 rules
        And rule 1 is a service on line 2 that "Aino, rental desk" asked for and that ends before "2027-06-01T00:00:00.000Z"
        And rule 2 runs at "0 2 * * *" in "Europe/Helsinki"

    Scenario: Every error of a file is named with its place and what is allowed
        Given a rules file:
            """
            servise beacon-check --cores 2 --memory 4GiB --until 2027-05-31 # Aino
            service desk --core 2 --memory 4GB --until 2027-02-30
            batch prep --cores 1 --memory 1GiB --schedule "61 2 * * *" --runs 0 # Eero
            service desk-two --cores 2 --memory 4GiB & # Aino
            batch twice --cores 1 --memory 1GiB --runs 1 # Eero
            service twice --cores 1 --memory 1GiB --until 2027-05-31 # Eero
            service endless --cores 1 --memory 1GiB # Eero
            batch quoted --cores 1 --memory 1GiB --runs 1 "# Eero
            allow twice --beside desk --until 2027-05-31 # Eero
            batch loose --cores 1 --memory 1GiB --feature x --schedule 0 2 * * * # Eero
            """
        Then the errors are:
            | line | column | text                                  |
            | 1    | 1      | did you mean service                  |
            | 2    | 14     | did you mean --cores                  |
            | 2    | 23     | 512MiB or 4GiB                        |
            | 2    | 36     | 2027-05-31                            |
            | 2    | 54     | who asked for it                      |
            | 3    | 36     | a cron expression in quotes           |
            | 3    | 60     | a whole number from 1                 |
            | 4    | 42     | in quotes                             |
            | 6    | 1      | stands already on line 5              |
            | 7    | 40     | --until DATE, --feature NAME          |
            | 8    | 47     | quote is not closed                   |
            | 9    | 13     | --beside goes with deny               |
            | 9    | 45     | allow needs --in                      |
            | 10   | 49     | a cron expression in quotes           |
            | 10   | 62     | (and 3 more words)                    |

    Scenario: Accepted text prints and parses back to itself, and no text is a crash
        Then 2000 arbitrary files are read without a crash
        And 1000 arbitrary sound files print and parse back to themselves
