// Package messenger defines the Twirp services between entry hosts. Its code is generated from
// peer.proto, batch.proto, jobs.proto and relay.proto with the plugins that tools/go.mod pins, in the directory tools:
//
//	go run ./protogen -twirp ../internal/cluster/messenger peer.proto batch.proto jobs.proto relay.proto
package messenger
