package limit

import "net/http"

// Requests returns a handler that charges each request before next serves it, and answers
// 503 or resets an HTTP/2 stream if there is no room.
func Requests(next http.Handler) http.Handler {
	return RequestsWithBody(next, 0)
}

// RequestsWithBody is like Requests and also charges the body of each request, which next
// reads into memory: its length, or maxBody if the length is unknown or larger.
func RequestsWithBody(next http.Handler, maxBody int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held, err := Begin(r)
		if err == nil {
			defer held.End()
			body := r.ContentLength
			if body < 0 || body > maxBody {
				body = maxBody
			}
			err = held.ChargeBody(body)
		}
		if err != nil {
			if held == nil && Unanswerable(r) {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
