// Package mirrorpb is the generated code of the gRPC protocol by which entry VMs forward what one
// of them has read from the platform's store.
package mirrorpb

//go:generate protoc --go_out=../.. --go_opt=module=github.com/threadwall/threadwall --go-grpc_out=../.. --go-grpc_opt=module=github.com/threadwall/threadwall -I../.. internal/mirrorpb/mirror.proto
