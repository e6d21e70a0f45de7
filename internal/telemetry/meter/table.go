package meter

import "slices"

// Metrics lists all metrics in the order of docs/metrics.md.
var Metrics = slices.Concat(
	callMetrics,
	clusterMetrics,
	batchMetrics,
	stateMetrics,
	operatorMetrics,
	jobMetrics,
	waitingMetrics,
	shortageMetrics,
	inputMetrics,
	evacuationMetrics,
	intakeMetrics,
)
