//! Socket that reports arriving bytes and fails when the caller reads too slowly.

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

use super::watch::Watch;

/// Socket under watch.
#[derive(Debug)]
pub(crate) struct Socket<S> {
    inner: S,
    watch: Watch,
    /// Time by which the caller is behind the least rate.
    behind: Duration,
    /// Since when a write waits, and the timer that ends the waiting.
    blocked: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl<S> Socket<S> {
    pub(crate) fn new(inner: S, watch: Watch) -> Self {
        Self { inner, watch, behind: Duration::ZERO, blocked: None }
    }

    /// Notes that a write waits; fails once the caller is too far behind.
    fn wait(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let left = self.watch.limits().stall_timeout.saturating_sub(self.behind);
        let (_, timer) = self.blocked.get_or_insert_with(|| {
            let now = Instant::now();
            (now, Box::pin(sleep_until(now + left)))
        });
        ready!(timer.as_mut().poll(context));
        let message = "the caller reads too slowly";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }

    /// Notes `bytes` that were written.
    fn wrote(&mut self, bytes: usize) {
        if let Some((since, _)) = self.blocked.take() {
            self.behind += since.elapsed();
        }
        if bytes > 0 {
            self.watch.sent();
        }
        self.behind = self.behind.saturating_sub(self.watch.limits().time_for(bytes));
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
            self.watch.received(&buffer.filled()[before..]);
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
                self.wrote(*result.as_ref().unwrap_or(&0));
                Poll::Ready(result)
            }
            Poll::Pending => self.wait(context).map(|result| result.map(|()| 0)),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.inner).poll_write_vectored(context, slices) {
            Poll::Ready(result) => {
                self.wrote(*result.as_ref().unwrap_or(&0));
                Poll::Ready(result)
            }
            Poll::Pending => self.wait(context).map(|result| result.map(|()| 0)),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match Pin::new(&mut self.inner).poll_flush(context) {
            Poll::Ready(result) => {
                self.wrote(0);
                Poll::Ready(result)
            }
            Poll::Pending => self.wait(context),
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

    use super::{super::Limits, Socket, Watch};

    const TOTAL_BYTES: usize = 100_000;

    /// Writes to a reader that takes `rate` bytes each second; returns the result and the time taken.
    /// The watchdog ends the writing as it ends a connection.
    async fn write_to_reader(rate: usize) -> (Result<(), ErrorKind>, Duration) {
        let limits = Limits {
            stall_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(20),
            min_bytes_per_s: 1_000,
            ..Limits::default()
        };
        let (ours, mut theirs) = duplex(100);
        let watch = Watch::new(tokio::sync::watch::channel(limits).1);
        let mut socket = Socket::new(ours, watch.clone());
        tokio::spawn(async move {
            let mut buffer = vec![0; rate];
            while theirs.read_exact(&mut buffer).await.is_ok() {
                sleep(Duration::from_secs(1)).await;
            }
        });
        let start = Instant::now();
        let result = tokio::select! {
            result = socket.write_all(&[0; TOTAL_BYTES]) => result.map_err(|error| error.kind()),
            () = watch.expired() => Err(ErrorKind::ConnectionAborted),
        };
        (result, start.elapsed())
    }

    /// Guards against a reader that keeps a connection by taking a byte now and then.
    #[tokio::test(start_paused = true)]
    async fn can_cut_off_a_reader_below_the_least_rate() {
        let (result, taken) = write_to_reader(500).await;
        assert_eq!(result, Err(ErrorKind::TimedOut));
        assert!(taken > Duration::from_secs(5) && taken < Duration::from_secs(15), "{taken:?}");
    }

    /// Guards against a cut of a reader that is steady and slow, by the least rate or as idle.
    #[tokio::test(start_paused = true)]
    async fn can_keep_a_reader_above_the_least_rate() {
        let (result, taken) = write_to_reader(1_250).await;
        assert_eq!(result, Ok(()));
        assert!(taken > Duration::from_secs(75), "{taken:?}");
    }
}
