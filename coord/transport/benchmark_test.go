package transport

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkCall measures a round trip over loopback.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{16, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			server := Serve(listen(b), testOptions("server"), echo)
			defer server.Close()
			client := connected(b, server.Addr().String(), testOptions("client"), nil)
			request := echoRequest{Number: 1, Text: "benchmark", Data: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Call(context.Background(), request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSend measures one-way messages of 1 KiB over loopback, sent as fast as the queue accepts them.
func BenchmarkSend(b *testing.B) {
	handler := func(context.Context, *Session, any) (any, error) { return nil, nil }
	server := Serve(listen(b), testOptions("server"), handler)
	defer server.Close()
	client := connected(b, server.Addr().String(), testOptions("client"), nil)
	request := echoRequest{Number: 1, Text: "benchmark", Data: make([]byte, 1<<10)}
	b.ReportAllocs()
	full := 0
	for b.Loop() {
		for client.Send(request) != nil {
			full++
			_, _ = client.Call(context.Background(), 1)
		}
	}
	b.ReportMetric(float64(full)/float64(b.N), "full/op")
}
