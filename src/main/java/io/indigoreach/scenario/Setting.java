package io.indigoreach.scenario;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** What a field of a file means, and what it may be; a record's component with it is a field of the file. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface Setting {
    /** What it is for, for people. */
    String value();

    /** Its value where the file says nothing; a field without one must be given. Lists are empty by default. */
    String standard() default REQUIRED;

    /** The least and the most that a number may be. */
    double least() default 0;

    double most() default 1e9;

    /** Marks a field that must be given. */
    String REQUIRED = "\0";
}
