package logger

var operatorEvents = []Event{}
