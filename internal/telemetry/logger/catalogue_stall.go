package logger

// Events of tasks that wait although there is room for them, and of the reservations that may keep them waiting.
var (
	LongRunningTaskStalled = Event{760, "long-running task stalled", "The task waits although looks have found free capacity of its pool for two such tasks, or for a gang twice, for StalledFor without a gap of more than 1.5 s, whatever is reserved or held. Reason is that of event 670, Waited the time since this leader queued the task or the worker of its run stopped answering. LastRun is the last run known of the task, LastWorker where a run was last placed, Places how many places the last look found; no more are counted than there have to be. The first line of a look has Stalled, the number of such tasks, Omitted, the lines that were left out, and DemandsOmitted, the distinct demands that were not examined. Logged after 1 s and again each 5 s, at most 5 times in a look.", SeverityWarning}
	JobStalled             = Event{761, "job stalled", "The job has no run that is known to go on, and a task of it could run: for StalledFor, each report has found free capacity for two such tasks and at most half of the processors of all registered workers of the pool in use (UsedShare; a worker that does not answer counts as free once its lease is over). Task is the one that has waited longest, for Waited, Reason why, as in event 671. Attempts counts runs that may be active, LastRun is the last run known of the task. Worker and HeldFor tell what holds the task back, and for how long at most, if that is known. The last values count the workers of the pool by why they were not feasible, CountedAgo ago, as in event 667. Avoids is the number of workers that the task avoids. HeldWorker is a worker with capacity that the last round held for the task Holder, if that is the reason. Logged after 2 s and again each 5 s, at most 5 times a second.", SeverityWarning}
	WorkerHeldLong         = Event{762, "worker held for a task", "For HeldFor, placement rounds have kept less urgent tasks from the worker for tasks of the same step, as these fit nowhere. Task is the one for which the last round did, Reason why it waits, as in event 671. Cores and MemoryMB are what it needs, FreeCores and FreeMemoryMB what is free there, EndingCores and EndingMemoryMB what runs reserve that end by themselves. Logged after 2 s and again each 5 s, at most 5 times a second.", SeverityInfo}
	TaskReturns            = Event{763, "task goes back to a worker that it avoids", "The task failed on the worker or was moved from it, and no other that could run it has the capacity. Waited is how long it has waited since, OthersFreeAfter the expected time until another worker has the capacity, left out if none will have as runs end by themselves. Failures counts its failed runs, LastAttempt is set if its job fails with one more. Distrust is the fault score of the worker.", SeverityInfo}
)

var stallEvents = []Event{
	LongRunningTaskStalled,
	JobStalled,
	WorkerHeldLong,
	TaskReturns,
}
