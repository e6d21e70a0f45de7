// Package messenger holds the twirp service between entry hosts. The code in peer.pb.go and
// peer.twirp.go is generated from peer.proto by protoc with the plugins that tools/go.mod pins:
//
//	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
package messenger
