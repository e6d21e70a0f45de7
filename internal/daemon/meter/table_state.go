package meter

var stateMetrics = []Metric{}
