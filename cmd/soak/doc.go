// Package soak runs galenasaild processes under random faults and checks the answers
// that callers get and the requests that targets run. It consists of tests only; see
// soak_test.go for their flags.
package soak
