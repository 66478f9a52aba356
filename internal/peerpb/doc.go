// Package peerpb is the generated code of the gRPC protocol between entry VMs.
package peerpb

//go:generate protoc --go_out=../.. --go_opt=module=github.com/threadwall/threadwall --go-grpc_out=../.. --go-grpc_opt=module=github.com/threadwall/threadwall -I../.. internal/peerpb/peer.proto
