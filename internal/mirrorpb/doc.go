// Package mirrorpb is the generated protocol by which entry VMs pass on what one of
// them has read of the platform's store.
package mirrorpb

//go:generate protoc --go_out=../.. --go_opt=module=github.com/threadwall/threadwall --go-grpc_out=../.. --go-grpc_opt=module=github.com/threadwall/threadwall -I../.. internal/mirrorpb/mirror.proto
