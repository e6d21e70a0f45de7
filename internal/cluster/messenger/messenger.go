// Package messenger defines the Twirp services between entry hosts. Its code is generated from
// peer.proto, batch.proto and jobs.proto with the plugins that tools/go.mod pins, in the directory tools:
//
//	go run ./protogen -twirp ../internal/cluster/messenger peer.proto batch.proto jobs.proto
package messenger
