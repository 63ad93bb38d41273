Feature: What is remembered of images

    # Guards against an owner whose memory grows with each image that callers have ever named.
    Scenario: Durations of the images that were run last are remembered, and the others forgotten
        When a task of 3000 ms of each of 2500 images is done
        Then the duration of image 2499 is expected to be 3000 ms
        And the duration of image 0 is expected to be the caller's estimate of 1000 ms

    Scenario: The effects of the filler images that were measured last are remembered, and the others forgotten
        When fillers of 400 images, one after the other, slow down a serving task
        Then the effect of image 399 has been measured
        And the effect of image 0 counts as unknown

    Scenario: Trials of the pairs of images that were placed last are remembered, and the others forgotten
        When fillers of 10500 images have been placed beside a serving image
        Then a trial of image 10499 is not due
        But a trial of image 0 is due
