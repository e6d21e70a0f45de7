// Package messenger defines the Twirp services between entry hosts. Its code is generated from
// peer.proto, batch.proto and jobs.proto by protoc, with the plugins that tools/go.mod pins:
//
//	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto batch.proto jobs.proto
package messenger
