//! Socket that reports received bytes and fails if the caller reads too slowly.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use super::monitor::Monitor;

/// Socket of a monitored connection.
#[derive(Debug)]
pub(crate) struct Socket<S> {
    inner: S,
    monitor: Monitor,
    /// Time by which the caller is behind the minimum rate.
    lag: Duration,
    /// Start of the pending write, and the timer that fails it.
    blocked_write: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl<S> Socket<S> {
    pub(crate) fn new(inner: S, monitor: Monitor) -> Self {
        Self { inner, monitor, lag: Duration::ZERO, blocked_write: None }
    }

    /// Records that a write is pending; fails once the caller is too far behind.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let left = self.monitor.limits().stall_timeout.saturating_sub(self.lag);
        let (_, timer) = self.blocked_write.get_or_insert_with(|| {
            let now = Instant::now();
            (now, Box::pin(sleep_until(now + left)))
        });
        ready!(timer.as_mut().poll(context));
        let message = "caller reads the response below the minimum rate";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }

    /// Records that a write of `bytes` completed.
    fn record_written(&mut self, bytes: usize) {
        if let Some((since, _)) = self.blocked_write.take() {
            self.lag += since.elapsed();
        }
        if bytes > 0 {
            self.monitor.record_sent();
        }
        self.lag = self.lag.saturating_sub(self.monitor.limits().time_for(bytes));
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.monitor.record_received(&buffer.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write(context, bytes) {
            Poll::Ready(result) => {
                self.record_written(*result.as_ref().unwrap_or(&0));
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_stalled(context).map(|result| result.map(|()| 0)),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write_vectored(context, slices) {
            Poll::Ready(result) => {
                self.record_written(*result.as_ref().unwrap_or(&0));
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_stalled(context).map(|result| result.map(|()| 0)),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.inner).poll_flush(context) {
            Poll::Ready(result) => {
                self.record_written(0);
                Poll::Ready(result)
            }
            Poll::Pending => self.poll_stalled(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests {
    use std::{io::ErrorKind, time::Duration};

    use tokio::{
        io::{AsyncReadExt, AsyncWriteExt, duplex},
        time::{Instant, sleep},
    };

    use super::{super::Limits, Monitor, Socket};

    const TOTAL_BYTES: usize = 100_000;

    /// Writes to a reader of `bytes_per_s`; returns the result and the elapsed time. The monitor
    /// ends the write as it ends a connection.
    async fn write_to_reader(bytes_per_s: usize) -> (Result<(), ErrorKind>, Duration) {
        let limits = Limits {
            stall_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(20),
            min_bytes_per_s: 1_000,
            ..Limits::default()
        };
        let (ours, mut theirs) = duplex(100);
        let monitor = Monitor::new(tokio::sync::watch::channel(limits).1);
        let mut socket = Socket::new(ours, monitor.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; bytes_per_s];
            while theirs.read_exact(&mut buffer).await.is_ok() {
                sleep(Duration::from_secs(1)).await;
            }
        });
        let start = Instant::now();
        let result = tokio::select! {
            result = socket.write_all(&[0; TOTAL_BYTES]) => result.map_err(|error| error.kind()),
            () = monitor.limit_exceeded() => Err(ErrorKind::ConnectionAborted),
        };
        (result, start.elapsed())
    }

    /// Guards against a reader that keeps a connection open by reading a byte now and then.
    #[tokio::test(start_paused = true)]
    async fn can_disconnect_a_reader_below_the_minimum_rate() {
        let (result, elapsed) = write_to_reader(500).await;
        assert_eq!(result, Err(ErrorKind::TimedOut));
        assert!(
            elapsed > Duration::from_secs(5) && elapsed < Duration::from_secs(15),
            "{elapsed:?}"
        );
    }

    /// Guards against disconnecting a slow but steady reader for its rate or as idle.
    #[tokio::test(start_paused = true)]
    async fn can_keep_a_reader_above_the_minimum_rate() {
        let (result, elapsed) = write_to_reader(1_250).await;
        assert_eq!(result, Ok(()));
        assert!(elapsed > Duration::from_secs(75), "{elapsed:?}");
    }
}
