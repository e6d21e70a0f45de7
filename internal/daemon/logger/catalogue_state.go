package logger

var stateEvents = []Event{}
