package logger

// Events of the leader on workers that restart.
var (
	WorkerEntryOutdated     = Event{700, "registry entry of another incarnation", "The worker answers as another incarnation (Answers) than the one that its registry entry describes (Entry). It gets no starts until its own entry is known, as its labels and capacity may differ. If this lasts, check whether the worker can write its entry.", SeverityWarning}
	WorkerLongLeasePossible = Event{701, "worker may hold a long lease", "The worker restarted, and a late request for its earlier incarnation may have given it a lease that ends after LeaseLeft. It gets no long-running tasks until at most Limit of that is left.", SeverityInfo}
	RestartedWorkerFenced   = Event{702, "restarted worker fenced", "This host does not lead. It gave the Fence of an earlier request to a worker that has restarted, which refuses starts for its earlier incarnation from then on.", SeverityInfo}
)

var restartEvents = []Event{WorkerEntryOutdated, WorkerLongLeasePossible, RestartedWorkerFenced}
