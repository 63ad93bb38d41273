Feature: Claims of a cell whose ledger takes long to load

    Background:
        Given three instances, and a store that takes 4 s to answer reads of the ledger

    # Guards against a cell that runs on in an instance that was stopped before its ledger was loaded.
    Scenario: An instance that is stopped while it loads a cell's ledger does not run the cell
        When the instance that loads the ledger is stopped
        Then it ends without having owned the cell
