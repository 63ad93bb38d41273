Feature: Records of the store are replaced only by who has seen the one that is replaced

    Scenario: A claim that waited does not take the cell from an owner that has claimed it meanwhile
        When a claim waits in the store while another scheduler claims the same cell
        Then the cell keeps its first owner

    Scenario: An assignment that was replaced meanwhile is not overwritten
        When marks of two removed rules wait in the store while one of the rules is created again
        Then the assignment of the new rule stands

    Scenario: A cell that is handed over during a commit is released in the store
        When a scheduler hands its cell over while a commit waits for its answer
        Then the store has the cell as released
