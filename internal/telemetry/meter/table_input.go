package meter

// Metrics of invalid input of other processes.
var (
	EntriesInvalid = Metric{"EntriesInvalid", "", "Invalid entries of the store that were left out, counted at each read: workers, jobs, hosts, configurations and records of the journal."}
	ReportsInvalid = Metric{"ReportsInvalid", "", "Answers and messages of workers, of the policy service and of other entry hosts that were left out, in part or as a whole, because they are invalid."}
)

var inputMetrics = []Metric{EntriesInvalid, ReportsInvalid}
