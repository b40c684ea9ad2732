package io.indigoreach.knownred;

import java.lang.reflect.Method;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.AssertionFailedError;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests of {@link KnownRedList}. A failing listed test is reported as skipped, with its failure; a listed
 * test that passes breaks the build, so that it gets removed from the list. Registered for every test class by
 * {@code META-INF/services}.
 */
public final class KnownRedExtension implements InvocationInterceptor {
    private static final Pattern ROW = Pattern.compile("\\[test-template-invocation:#(\\d+)]$");

    private final KnownRedList list;

    public KnownRedExtension() {
        this(KnownRedList.load());
    }

    KnownRedExtension(KnownRedList list) {
        this.list = list;
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, context);
    }

    private void run(Invocation<Void> invocation, ExtensionContext context) throws Throwable {
        String testClass = context.getRequiredTestClass().getName();
        String testMethod = context.getRequiredTestMethod().getName();
        KnownRedList.Entry entry =
                list.find(testClass, testMethod, row(context.getUniqueId())).orElse(null);
        if (entry == null) {
            invocation.proceed();
        } else {
            expectFailure(invocation, entry);
        }
    }

    /** Returns the number of the invocation of a parameterized test, or 0 for other tests. */
    private static int row(String uniqueId) {
        Matcher matcher = ROW.matcher(uniqueId);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    private static void expectFailure(Invocation<Void> invocation, KnownRedList.Entry entry) throws Throwable {
        try {
            invocation.proceed();
        } catch (TestAbortedException e) {
            throw new AssertionFailedError("listed as known to fail, but did not run: " + entry, e);
        } catch (Exception | AssertionError e) {
            throw new TestAbortedException("known to fail: " + entry.seen() + " (" + entry.issue() + ")", e);
        }
        throw new AssertionFailedError("listed as known to fail, but passes; remove it from the list: " + entry);
    }
}
