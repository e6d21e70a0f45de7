package meter

var operatorMetrics = []Metric{}
