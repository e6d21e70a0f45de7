package logger

var batchEvents = []Event{}
