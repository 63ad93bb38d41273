Feature: Whatever befalls schedulers, store and workers, each job runs once and none is forgotten

    Scenario: Random interleavings of crashes, pauses, outages, lost answers, lapses and edits break no invariant
        When 40 random histories of a small deployment are played from seed 20261204
        Then no invariant was broken while tasks were started and resumed
