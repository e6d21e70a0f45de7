package meter

// Metrics of invalid input of other processes.
var (
	EntriesInvalid = Metric{"EntriesInvalid", "", "Invalid entries of the store that were left out, counted at each read: workers, jobs, hosts, configurations and records of the journal."}
	ReportsInvalid = Metric{"ReportsInvalid", "", "Invalid parts of answers of workers, of the policy service and of other entry hosts that were left out."}
)

var inputMetrics = []Metric{EntriesInvalid, ReportsInvalid}
