// Package flood contains the test of VMs whose callers exceed what a machine can hold. It runs
// real galenasaild processes on loopback.
package flood
