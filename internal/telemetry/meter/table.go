package meter

import "slices"

// Table lists all metrics in the order of docs/metrics.md.
var Table = slices.Concat(
	callMetrics,
	clusterMetrics,
	batchMetrics,
	stateMetrics,
	operatorMetrics,
	jobMetrics,
)
