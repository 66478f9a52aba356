// Package e2e tests requests end to end: from callers through VMs that run in the test
// process to a simulated platform with engines and services.
package e2e
